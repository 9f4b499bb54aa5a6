"""HTTP/1.1 server protocol that lets applications ask the kernel about the client's connection."""

from __future__ import annotations

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .asgi import CONNECTION_EXTENSION
from .client_connections import ClientConnection


class ClientProtocol(HttpToolsProtocol):
    """HTTP/1.1 with the `ClientConnection` in the scope of each request."""

    def on_message_begin(self) -> None:
        """Begin a request, and add the extension to its scope."""
        super().on_message_begin()
        connection = ClientConnection(transport=self.transport)
        self.scope["extensions"] = {CONNECTION_EXTENSION: {"connection": connection}}

"""Storage in the data folder: the journal and the files that it is kept in."""

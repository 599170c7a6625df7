"""What outlives a crash: the store of configuration versions, on LMDB."""

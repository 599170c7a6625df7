"""`run --config FILE`: decisions under numbered versions of the configuration, a file a concern."""

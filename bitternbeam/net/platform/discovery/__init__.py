"""Discovery: follows the numbered events of the server list over one watch connection."""

"""The platform's protocol: JSON lines to clients and bookers (upstream servers), and discovery."""

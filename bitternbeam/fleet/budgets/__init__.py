"""Connection budgets: what part of each booker's connections and lines a tenant may hold (pure)."""

"""The figures that operators read: counts kept where each event happens, printed by the admin wire."""

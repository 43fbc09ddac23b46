"""Links between entry hosts, dissemination, host views and caller addresses."""

"""Links between entry hosts, dissemination of messages, and views of the hosts."""

"""SIP over UDP and TCP: messages, transports, transactions, dialogs, and the B2BUA's two sides."""

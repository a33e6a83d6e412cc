"""Small models of the core protocols, checked exhaustively."""

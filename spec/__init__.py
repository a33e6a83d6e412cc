"""The core protocols as small models, checked exhaustively."""

"""gRPC messages between this system's processes; generated code included."""

"""Messages between ramptray's own processes, over gRPC."""

"""The client side of the model engines' HTTP protocol."""

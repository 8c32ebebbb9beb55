"""Client of the model engines' HTTP protocol."""

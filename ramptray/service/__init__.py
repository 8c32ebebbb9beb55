"""The client side of plain services behind ramptray."""

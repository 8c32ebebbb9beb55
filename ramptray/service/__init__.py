"""Client of plain services behind ramptray."""

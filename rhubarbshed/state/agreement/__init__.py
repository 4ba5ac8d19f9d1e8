"""What this instance knows of the rows of the table service."""

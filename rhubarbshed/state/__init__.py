"""Hold what an instance knows."""

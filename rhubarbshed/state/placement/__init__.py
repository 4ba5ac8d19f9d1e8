"""What backend servers hold and reserve, and the demand for it."""

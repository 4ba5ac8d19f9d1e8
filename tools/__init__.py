"""Developer programs: demonstration, measurements, fuzzing and soak tests."""

"""Programs for developers: demonstration, measurements, fuzzing."""

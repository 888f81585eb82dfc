"""Read and write rows of the platform's store."""

//! Which models run where, decided by the holder of a pool's lease.

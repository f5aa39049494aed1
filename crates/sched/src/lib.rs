//! Life cycle of jobs, coordinator epochs and take-over.

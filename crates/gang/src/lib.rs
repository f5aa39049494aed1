//! Shapes, guarantees and placement of gang jobs.

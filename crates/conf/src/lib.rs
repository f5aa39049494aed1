//! Node settings and the operators' settings tree.

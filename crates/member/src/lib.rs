//! Membership of the entry VMs of a failure domain.

//! WebSocket links that carry CBOR messages between daemons.

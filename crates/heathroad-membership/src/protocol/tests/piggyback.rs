//! Unit tests of the piggyback channel.

use super::*;

#[test]
fn messages_beyond_the_limit_are_discarded() {
    let mut channel = PiggybackChannel::default();
    for n in 0..300_u16 {
        channel.receive(1, 9, vec![Update::Bytes(n.to_be_bytes().to_vec())]);
    }
    assert!(!channel.is_empty());
    let messages: Vec<PiggybackMessage> = channel.drain().collect();
    assert_eq!(messages.len(), MAX_PENDING_MESSAGES);
    let first = PiggybackMessage {
        from: 1,
        incarnation: 9,
        bytes: vec![0, 0],
    };
    assert_eq!(messages[0], first);
    assert!(channel.is_empty());
}

//! Unit tests of the resource server.

use super::*;

fn request(id: u32) -> ResourceRequest {
    ResourceRequest {
        from: 1,
        id,
        resource: Resource::ActivityRecord,
        key: Digest::default(),
    }
}

fn length(reply: &PartReply) -> u32 {
    match reply.message {
        Message::Part { length, .. } => length,
        other => panic!("{other:?}"),
    }
}

#[test]
fn all_parts_are_served_from_the_same_bytes() {
    let mut server = ResourceServer::default();
    assert!(
        server.receive(request(1), 0).is_none(),
        "the caller has to provide the resource"
    );
    assert!(server.receive(request(1), 0).is_none());
    assert_eq!(server.drain_requests().collect::<Vec<_>>(), [request(1)]);
    let first = server.serve(request(1), Some(vec![1; PART_BYTES + 1]));
    assert_eq!(length(&first), PART_BYTES as u32 + 1);
    let second = server.receive(request(1), 1).expect("the resource is kept");
    assert_eq!(second.updates, [Update::Bytes(vec![1])]);
}

#[test]
fn a_discarded_resource_is_not_found() {
    let mut server = ResourceServer::default();
    for id in 0..=MAX_SERVED_RESOURCES as u32 {
        server.serve(request(id), Some(vec![1; PART_BYTES + 1]));
    }
    let reply = server.receive(request(0), 1).expect("there is a reply");
    assert_eq!(length(&reply), NOT_FOUND_LENGTH);
    assert!(
        server
            .receive(request(1), 1)
            .is_some_and(|reply| length(&reply) != NOT_FOUND_LENGTH)
    );
}

#[test]
fn an_oversized_resource_is_not_found() {
    let mut server = ResourceServer::default();
    let reply = server.serve(request(1), Some(vec![0; MAX_RESOURCE_BYTES + 1]));
    assert_eq!(length(&reply), NOT_FOUND_LENGTH);
}

//! Requests of a candidate to voters, and the answers that it accepts.

mod simulation;

use heathroad_lease::MemberId;
use heathroad_lease::candidate::{EndReason, LeaseEvent};
use heathroad_lease::lease_manager::{LeaseManager, Output};
use heathroad_lease::message::{Body, GrantRequest, Granted, Message, Status};
use heathroad_lease::token::Token;
use simulation::{LEASE_DURATION, Simulation, lease};

fn message(body: Body) -> Message {
    Message {
        lease: lease(),
        body,
    }
}

fn free_status() -> Message {
    message(Body::Status(Status {
        round: 1,
        highest_token: Token::default(),
        remaining_ms: 0,
        reason: None,
        early_failures: 0,
    }))
}

fn granted(token: Token, round: u32, duration_ms: u32) -> Message {
    message(Body::Granted(Granted {
        token,
        round,
        duration_ms,
        checkpoint: None,
    }))
}

/// Takes all outputs and returns the grant requests among them with their receivers.
fn take_grant_requests(manager: &mut LeaseManager) -> Vec<(MemberId, GrantRequest)> {
    let grant_request = |output: Output| match output {
        Output::Send(outgoing) => match outgoing.message.body {
            Body::GrantRequest(request) => Some((outgoing.to, request)),
            _ => None,
        },
        _ => None,
    };
    manager.take_outputs().filter_map(grant_request).collect()
}

/// Takes all outputs and returns the receivers of the status requests among them.
fn take_status_requests(manager: &mut LeaseManager) -> Vec<MemberId> {
    let receiver = |output: Output| match output {
        Output::Send(outgoing) => match outgoing.message.body {
            Body::StatusRequest { .. } => Some(outgoing.to),
            _ => None,
        },
        _ => None,
    };
    manager.take_outputs().filter_map(receiver).collect()
}

/// Returns the manager of member 0. The other voters do not answer.
fn manager_with_unresponsive_voters() -> LeaseManager {
    let mut simulation = Simulation::new(3, 3, 1);
    (1..3).for_each(|member| simulation.kill(member));
    simulation
        .node(0)
        .manager
        .take()
        .expect("the process is not running")
}

/// Requests are retransmitted under the same token to the voters that have not answered, and a hold
/// is counted from the time at which its requests were sent.
#[test]
fn unanswered_requests_are_retransmitted() {
    let mut manager = manager_with_unresponsive_voters();
    manager.tick(10);
    let requests = take_grant_requests(&mut manager);
    assert_eq!(requests, [], "a grant was requested before the pre-vote");
    manager.handle_message(10, 1, 1, free_status());
    assert_eq!(take_status_requests(&mut manager), []);
    manager.tick(10 + LEASE_DURATION / 16);
    let receivers = take_status_requests(&mut manager);
    assert_eq!(
        receivers,
        [0, 2],
        "retransmitted to the voters that have not answered"
    );
    for voter in 1..3 {
        manager.handle_message(10, voter, 1, free_status());
    }
    manager.tick(10);
    let initial = take_grant_requests(&mut manager);
    assert_eq!(
        initial.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [0, 1, 2]
    );
    let GrantRequest { token, round, .. } = initial[1].1;
    manager.handle_message(11, 1, 1, granted(token, round, 500));
    manager.tick(10 + LEASE_DURATION / 16);
    let retransmitted = take_grant_requests(&mut manager);
    let receivers: Vec<_> = retransmitted
        .iter()
        .map(|(to, request)| (*to, request.token))
        .collect();
    assert_eq!(receivers, [(0, token), (2, token)]);
    // An answer with an unknown round is ignored.
    manager.handle_message(90, 2, 1, granted(token, 999, 500));
    assert_eq!(manager.held_token(90, lease()), None);
    manager.handle_message(90, 2, 1, granted(token, retransmitted[1].1.round, 500));
    assert_eq!(manager.held_token(90, lease()), Some(token));
    // The hold expires relative to when the first request was sent, not to its answer.
    let held = [509, 510].map(|now| manager.held_token(now, lease()));
    assert_eq!(held, [Some(token), None]);
    // A renewal that arrives after the expiry does not extend the hold, although it was requested
    // in time.
    let renewals = take_grant_requests(&mut manager);
    let round = renewals.iter().map(|(_, request)| request.round).max();
    let round = round.expect("no renewal was requested");
    for voter in 0..3 {
        manager.handle_message(520, voter, 1, granted(token, round, 1000));
    }
    assert_eq!(manager.held_token(520, lease()), None);
    let expired = LeaseEvent::Ended {
        token,
        reason: EndReason::Expired,
    };
    assert!(
        manager
            .take_outputs()
            .any(|o| o == Output::Event(lease(), expired.clone()))
    );
}

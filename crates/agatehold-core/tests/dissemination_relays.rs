//! Tests which datagrams cross the boundary of a failure domain.

use std::collections::BTreeSet;

use agatehold_core::dissemination::Delivery;
use agatehold_core::dissemination::deliveries;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;

/// Returns `hosts` hosts that are spread evenly over `domains` failure domains.
fn fleet(hosts: usize, domains: usize) -> Vec<(HostId, FailureDomain)> {
    let mut fleet = Vec::new();
    for number in 0..hosts {
        let host = format!("host-{number}").parse().expect("a name");
        let domain = format!("domain-{}", number % domains);
        fleet.push((host, domain.parse().expect("a name")));
    }
    fleet
}

fn recipients(fleet: &[(HostId, FailureDomain)]) -> Vec<(&HostId, &FailureDomain)> {
    fleet.iter().map(|(host, domain)| (host, domain)).collect()
}

/// An entry daemon sends evidence to 33 others in 3 failure domains, or at the design
/// size to 300 in 7. Guards against bytes between failure domains that grow with the
/// number of entry daemons, and against recipients that nobody serves.
#[test]
fn a_message_crosses_each_boundary_as_often_as_it_is_copied() {
    for (hosts, domains, copies) in [(33, 3, 1), (33, 3, 2), (300, 7, 1)] {
        let fleet = fleet(hosts, domains);
        let recipients = recipients(&fleet);
        let own: FailureDomain = "domain-0".parse().expect("a name");
        let sent = deliveries(&recipients, &own, 5, copies);
        let domain_of = |delivery: &Delivery<'_>| {
            let row = fleet.iter().find(|(host, _)| host == delivery.host);
            row.expect("a recipient").1.clone()
        };
        let crossing: Vec<&Delivery<'_>> = sent
            .iter()
            .filter(|delivery| domain_of(delivery) != own)
            .collect();
        assert_eq!(crossing.len(), (domains - 1) * copies);
        assert!(crossing.iter().all(|delivery| delivery.is_relay));
        let reached: BTreeSet<FailureDomain> = crossing.into_iter().map(domain_of).collect();
        assert_eq!(reached.len(), domains - 1, "each domain has a relay");
        let near = fleet.iter().filter(|(_, domain)| *domain == own).count();
        let direct = sent.iter().filter(|delivery| !delivery.is_relay).count();
        assert_eq!(direct, near, "those nearby get the message directly");
    }
}

/// One relay has just been lost. Guards against a choice that stays the same from message
/// to message, so that a whole failure domain would hear nothing until the loss is known.
#[test]
fn a_lost_relay_costs_only_a_part_of_the_messages() {
    const TURNS: u64 = 110;
    let fleet = fleet(33, 3);
    let recipients = recipients(&fleet);
    let own: FailureDomain = "domain-0".parse().expect("a name");
    let lost: HostId = "host-1".parse().expect("a name");
    let mut through_lost = 0;
    for turn in 0..TURNS {
        let sent = deliveries(&recipients, &own, turn, 1);
        through_lost += u64::from(sent.iter().any(|delivery| *delivery.host == lost));
    }
    assert_eq!(through_lost, TURNS / 11);
}

/// Guards against a detour where a failure domain has so few recipients that a relay
/// saves nothing.
#[test]
fn few_recipients_in_a_domain_get_messages_directly() {
    let fleet = fleet(6, 3);
    let own: FailureDomain = "domain-0".parse().expect("a name");
    let sent = deliveries(&recipients(&fleet), &own, 0, 1);
    assert_eq!(sent.len(), 6);
    assert!(sent.iter().all(|delivery| !delivery.is_relay));
}

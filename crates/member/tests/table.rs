//! Checks that the documented table of activities matches the decisions of the code.

use member::allowed;
use member::Activity;
use member::Decision;
use member::PeerReach;
use member::PlatformStatus;

const DOC: &str = include_str!("../../../docs/design/member.md");

fn row(platform: &str, peers: &str) -> Vec<String> {
    let cells = |line: &str| -> Vec<String> {
        let parts = line.trim().trim_matches('|').split('|');
        parts.map(|c| c.trim().to_string()).collect()
    };
    let mut rows = DOC.lines().filter(|l| l.starts_with('|')).map(cells);
    let found = rows.find(|r| r[0] == platform && r[1] == peers).unwrap();
    found[2..].to_vec()
}

#[test]
fn documentation_matches_the_decisions() {
    let platforms = [
        (PlatformStatus::Up, "up"),
        (PlatformStatus::Slow, "slow"),
        (PlatformStatus::Down, "down"),
    ];
    let peers = [
        (PeerReach::All, "all"),
        (PeerReach::Some, "some"),
        (PeerReach::None, "none"),
    ];
    for (platform, platform_text) in platforms {
        for (reach, reach_text) in peers {
            let decide = |a| allowed(platform, reach, a, false).to_string();
            let decided: Vec<String> = Activity::ALL.into_iter().map(decide).collect();
            assert_eq!(decided, row(platform_text, reach_text));
        }
    }
}

#[test]
fn daemon_only_settings_allow_starts_while_all_peers_are_reachable() {
    let decide = |peers| allowed(PlatformStatus::Down, peers, Activity::NewTasks, true);
    assert_eq!(decide(PeerReach::All), Decision::Yes);
    assert_eq!(decide(PeerReach::Some), Decision::Proof);
    assert_eq!(decide(PeerReach::None), Decision::No);
}

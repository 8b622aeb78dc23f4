//! Which log lines a vm writes when it may not write all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::gateway::{
    LineClass, LogLimiter, MAX_IMPORTANT_LINES_PER_KIND_PER_S, MAX_IMPORTANT_LINES_PER_S,
    MAX_LINES_PER_KIND_PER_S, MAX_ROUTINE_LINES_PER_S, ROUTINE_LINES_PER_S,
};

type Limiter = LogLimiter<&'static str>;

const ROUTINE_KINDS: [&str; 4] = ["placed", "computed", "handed_over", "answered"];

fn at(second: u64) -> Duration {
    Duration::from_secs(second)
}

/// Ids as callers form them: equal but for a number.
fn ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

/// Plays a second in which these requests write all their routine lines, in batches that overlap,
/// and returns how many lines of each request were admitted.
fn play_second(limiter: &mut Limiter, second: u64, ids: &[String]) -> BTreeMap<String, usize> {
    let mut admitted: BTreeMap<_, _> = ids.iter().map(|id| (id.clone(), 0)).collect();
    for batch in ids.chunks(30) {
        for kind in ROUTINE_KINDS {
            for id in batch {
                let line = limiter.admit(kind, LineClass::Routine(id), at(second));
                *admitted.get_mut(id).unwrap() += usize::from(line.is_some());
            }
        }
    }
    admitted
}

fn kept(admitted: &BTreeMap<String, usize>) -> BTreeSet<&String> {
    let kept = admitted.iter().filter(|(_, lines)| **lines > 0);
    kept.map(|(id, _)| id).collect()
}

/// How many of these lines are admitted in a second.
fn admitted(limiter: &mut Limiter, kind: &'static str, class: LineClass<'_>, count: u32) -> u32 {
    let lines = (0..count).filter(|_| limiter.admit(kind, class, at(1)).is_some());
    u32::try_from(lines.count()).unwrap()
}

/// Guards against a request of which a part of the lines is missing, also while the load changes.
#[test]
fn routine_lines_of_a_request_are_kept_or_dropped_together() {
    let mut limiter = Limiter::default();
    let loads = [10, 2000, 2000, 60, 500, 500, 500, 41, 90, 5, 1000, 2];
    for (second, load) in (1..).zip(loads) {
        let requests = ids(&format!("s{second}"), load);
        let admitted = play_second(&mut limiter, second, &requests);
        for (id, lines) in &admitted {
            assert!([0, ROUTINE_KINDS.len()].contains(lines), "{id}: {lines}");
        }
        assert!(load < 500 || kept(&admitted).len() >= 5, "second {second}");
    }
}

/// Guards against vms under different loads that keep lines of different requests.
#[test]
fn a_smaller_share_keeps_a_subset_of_a_larger_one() {
    let common = ids("attempt", 300);
    let mut kept_before: Option<BTreeSet<String>> = None;
    let mut counts = Vec::new();
    for other_load in [0, 700, 4000] {
        let mut limiter = Limiter::default();
        let mut requests = ids("other", other_load);
        requests.extend(common.iter().cloned());
        for second in 1..4 {
            play_second(&mut limiter, second, &requests);
        }
        let admitted = play_second(&mut limiter, 4, &requests);
        let kept: BTreeSet<String> = kept(&admitted)
            .into_iter()
            .filter(|id| id.starts_with("attempt"))
            .cloned()
            .collect();
        counts.push(kept.len());
        if let Some(before) = &kept_before {
            assert!(kept.is_subset(before), "{other_load} others: {counts:?}");
        }
        kept_before = Some(kept);
    }
    let shrinks = counts.windows(2).all(|pair| pair[0] > pair[1]);
    assert!(shrinks && counts[2] > 0, "{counts:?}");
}

/// Guards against ids whose hashes are so alike that a share keeps far too many or too few.
#[test]
fn numbered_requests_spread_over_the_shares() {
    for prefix in ["r", "attempt", "edge-plovdiv-b-2/7f3a"] {
        let mut limiter = Limiter::default();
        let requests = ids(prefix, 6400);
        play_second(&mut limiter, 1, &requests);
        let kept = kept(&play_second(&mut limiter, 2, &requests)).len();
        assert!((60..=140).contains(&kept), "{prefix}: {kept} of 100"); // 1/64 is the smallest share.
    }
}

/// Guards against requests that stay unlogged after a flood is over.
#[test]
fn all_requests_are_kept_again_after_a_flood() {
    let mut limiter = Limiter::default();
    play_second(&mut limiter, 1, &ids("flood", 20_000));
    let few = ids("few", 8);
    for second in 2..8 {
        play_second(&mut limiter, second, &few);
    }
    assert_eq!(kept(&play_second(&mut limiter, 8, &few)).len(), few.len());
    play_second(&mut limiter, 9, &ids("flood", 20_000));
    assert_eq!(kept(&play_second(&mut limiter, 60, &few)).len(), few.len());
}

/// Guards against a failure that is not in the log because of requests that go well.
#[test]
fn a_flood_of_routine_lines_drops_no_important_one() {
    let mut limiter = Limiter::default();
    let mut left_out = 0;
    for id in ids("flood", 20_000) {
        let line = limiter.admit("placed", LineClass::Routine(&id), at(1));
        left_out += u32::from(line.is_none());
    }
    assert!(left_out > 0);
    for kind in ["ended", "attempt", "crash", "placed_important"] {
        let limit = MAX_IMPORTANT_LINES_PER_KIND_PER_S;
        let lines = admitted(&mut limiter, kind, LineClass::Important, limit);
        assert_eq!(lines, limit, "{kind}");
    }
    let limit = MAX_LINES_PER_KIND_PER_S;
    assert_eq!(
        admitted(&mut limiter, "targets", LineClass::Other, limit),
        limit
    );
}

/// Guards against a cut stream that is not in the log because of many refusals and failed attempts.
#[test]
fn a_flood_of_important_kinds_hides_no_other_kind() {
    let mut limiter = Limiter::default();
    for kind in [
        "ended",
        "attempt",
        "crash",
        "unanswered",
        "taken_up",
        "hedged",
    ] {
        admitted(&mut limiter, kind, LineClass::Important, 10_000);
    }
    let cut = MAX_LINES_PER_KIND_PER_S;
    assert_eq!(
        admitted(&mut limiter, "cut_off", LineClass::Important, cut),
        cut
    );
}

/// Guards against a vm that spends its processor time on the log.
#[test]
fn the_lines_of_a_second_are_bounded() {
    let mut limiter = Limiter::default();
    let of_one = admitted(&mut limiter, "placed", LineClass::Routine("r-1"), 50_000);
    assert!(of_one <= MAX_ROUTINE_LINES_PER_S);
    let mut limiter = Limiter::default();
    let mut routine = 0;
    for kind in ROUTINE_KINDS {
        for id in ids("flood", 50_000) {
            routine += admitted(&mut limiter, kind, LineClass::Routine(&id), 1);
        }
    }
    assert!(routine <= MAX_ROUTINE_LINES_PER_S, "{routine}");
    let kinds = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let count = u32::try_from(kinds.len()).unwrap();
    let mut important = 0;
    for kind in kinds {
        let lines = admitted(&mut limiter, kind, LineClass::Important, 10_000);
        assert!(lines <= MAX_IMPORTANT_LINES_PER_KIND_PER_S);
        important += lines;
    }
    let bound = MAX_IMPORTANT_LINES_PER_S + count * MAX_LINES_PER_KIND_PER_S;
    assert!(important <= bound, "{important}");
    let other = admitted(&mut limiter, "targets", LineClass::Other, 10_000);
    assert_eq!(other, MAX_LINES_PER_KIND_PER_S);
}

/// Guards against a steady load of which too many or hardly any lines are written.
#[test]
fn a_steady_load_settles_below_the_limit() {
    let mut limiter = Limiter::default();
    for second in 1..30 {
        let requests = ids(&format!("s{second}"), 300);
        let lines: usize = play_second(&mut limiter, second, &requests).values().sum();
        let wanted = ROUTINE_LINES_PER_S / 8..=ROUTINE_LINES_PER_S * 2;
        let is_settled = second > 3;
        assert!(
            !is_settled || wanted.contains(&(lines as u32)),
            "{second}: {lines}"
        );
    }
}

/// Guards against left-out lines that are not counted, counted twice, or reported too often.
#[test]
fn every_line_left_out_is_reported_once() {
    let mut limiter = Limiter::default();
    let (mut wanted, mut written, mut reported) = (0, 0, 0);
    for second in 1..20 {
        let mut reports = 0;
        for id in ids(&format!("s{second}"), 3000) {
            wanted += 1;
            if let Some(left_out) = limiter.admit("placed", LineClass::Routine(&id), at(second)) {
                written += 1;
                reported += left_out;
                reports += u32::from(left_out > 0);
            }
        }
        assert!(reports <= 1, "{reports} reports in second {second}");
    }
    let last = limiter.admit("placed", LineClass::Routine("last"), at(100));
    assert_eq!(written + reported + last.unwrap(), wanted);
}

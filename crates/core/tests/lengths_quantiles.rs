//! Guards against wrong estimates of output lengths.

use jujubebeam_core::lengths::{LengthConfig, LengthModel};
use jujubebeam_core::{RouteId, WorkspaceId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ROUTE: RouteId = RouteId(0);

/// Guards against estimates that do not adapt when answers become longer.
#[test]
fn adapts_to_a_change_of_lengths() {
    let mut model = LengthModel::new(LengthConfig::default());
    let workspace = WorkspaceId(1);
    for _ in 0..500 {
        model.observe(workspace, ROUTE, 100);
    }
    for _ in 0..500 {
        model.observe(workspace, ROUTE, 800);
    }
    let median = model.quantile(workspace, ROUTE, 0.5);
    assert!((700..=900).contains(&median), "{median}");
    assert!(model.error() < 0.2, "{}", model.error());
}

/// Guards against a new workspace that gets the initial estimate although its route has answers.
#[test]
fn new_workspace_starts_from_its_route() {
    let mut model = LengthModel::new(LengthConfig::default());
    for _ in 0..50 {
        model.observe(WorkspaceId(1), ROUTE, 1000);
    }
    let expected = model.mean(WorkspaceId(2), ROUTE);
    assert!((900.0..1100.0).contains(&expected), "{expected}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against quantiles that are not monotonic, or outside the observed range by more than
    /// half a bucket.
    #[test]
    fn quantiles_are_ordered(lengths in prop::collection::vec(1u64..100_000, 10..100)) {
        let mut model = LengthModel::new(LengthConfig::default());
        for length in &lengths {
            model.observe(WorkspaceId(1), ROUTE, *length);
        }
        let at = |q| model.quantile(WorkspaceId(1), ROUTE, q);
        prop_assert!(at(0.1) <= at(0.5) && at(0.5) <= at(0.9));
        let (least, most) = (lengths.iter().min().unwrap(), lengths.iter().max().unwrap());
        prop_assert!(at(0.0) as f64 >= *least as f64 * 0.85 - 1.0);
        prop_assert!(at(1.0) as f64 <= *most as f64 * 1.15 + 1.0);
    }
}

//! Conversion of the operators' policy into the configuration of the state machines.

use std::time::Duration;

use jujubebeam_core::fleet::PlannerConfig;
use jujubebeam_core::request::{RetryBudget, RetryBudgetConfig};
use jujubebeam_core::scheduler::SchedulerConfig;
use jujubebeam_core::settings::document::PolicyDocument;

/// Guards against policy defaults that differ from the defaults of the state machines, with which
/// their performance is measured.
#[test]
fn default_policy_is_the_default_of_the_machines() {
    let policy = PolicyDocument::default();
    assert_eq!(
        PlannerConfig::from_policy(&policy),
        PlannerConfig::default()
    );
    assert_eq!(
        SchedulerConfig::from_policy(&policy),
        SchedulerConfig::default()
    );
    assert_eq!(
        RetryBudgetConfig::from_policy(&policy),
        RetryBudgetConfig::default()
    );
}

/// Guards against a policy field that no state machine uses.
#[test]
fn every_field_of_the_policy_reaches_a_machine() {
    let policy = PolicyDocument {
        role_gain_horizon_s: 11,
        role_change_cost_s: 12,
        role_change_interval_s: 13,
        role_changes_per_zone: 14,
        release_after_idle_s: 15,
        zone_loss_share_percent: 16,
        low_priority_share_percent: 17,
        retry_budget_percent: 18,
    };
    let planner = PlannerConfig {
        gain_horizon: Duration::from_secs(11),
        change_cost: Duration::from_secs(12 + 3),
        change_interval: Duration::from_secs(13),
        changes_per_zone: 14,
        release_after: Duration::from_secs(15),
        zone_loss_share: 0.16,
        ..PlannerConfig::default()
    };
    assert_eq!(PlannerConfig::from_policy(&policy), planner);
    let scheduler = SchedulerConfig::from_policy(&policy);
    assert_eq!(scheduler.low_priority_share, 0.17);
    assert_eq!(RetryBudgetConfig::from_policy(&policy).per_success, 0.18);
}

/// Guards against a configuration change that refills the retry budget of each route, which would
/// amplify an overload.
#[test]
fn changed_retry_budget_keeps_its_balance() {
    let now = Duration::from_secs(1);
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
    while budget.take(now) {}
    let policy = PolicyDocument {
        retry_budget_percent: 50,
        ..PolicyDocument::default()
    };
    budget.configure(RetryBudgetConfig::from_policy(&policy));
    assert!(!budget.take(now));
    budget.succeeded();
    budget.succeeded();
    assert!(budget.take(now) && !budget.take(now));
}

//! What happens in each experiment.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};

/// Name of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Name {
    /// The prefill share moves by half, and then faster than a role change pays.
    MixShift,
    /// One workspace sends ten times its share.
    NoisyNeighbour,
    /// The cheap targets of one zone vanish.
    ZoneLoss,
    /// The platform's store is down while the mix shifts.
    StoreOutage,
    /// Load reports are seconds old.
    LaggingLoad,
    /// Callers send refused and failed requests again at once.
    RetryStorm,
    /// Load exceeds what is always there.
    Spend,
}

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Policy {
    /// Engines in turn.
    RoundRobin,
    /// Engine with the least reported load.
    LeastLoad,
    /// Four prefill and six decode engines, each by least reported load.
    FixedRoles,
    /// The decision crate.
    Jujubebeam,
    /// The decision crate in one place, with true lengths and no lag.
    Clairvoyant,
}

impl Policy {
    /// Whether the decision crate decides.
    pub(crate) fn decides(self) -> bool {
        matches!(self, Self::Jujubebeam | Self::Clairvoyant)
    }
}

/// Course of one experiment.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: Name,
    pub(crate) duration_s: f64,
    pub(crate) equal_workspaces: bool,
    pub(crate) noisy_workspace: Option<usize>,
    pub(crate) report_lag: Option<Duration>,
    /// Time at which the cheap targets of zone 0 vanish.
    pub(crate) zone_loss_at_s: Option<f64>,
    /// Time without the store, in which nobody plans.
    pub(crate) store_outage_s: Option<(f64, f64)>,
    /// Times at which a caller sends a request again after a failure.
    pub(crate) caller_retries: u32,
    /// Time in which half of the engines answer nothing.
    pub(crate) engine_pause_s: Option<(f64, f64)>,
    pub(crate) buys: bool,
    pub(crate) engines: usize,
    engines_of_load: f64,
}

/// Prefill share of the work on an ordinary day.
const USUAL_PREFILL_SHARE: f64 = 0.44;

impl Scenario {
    pub(crate) fn new(name: Name, short: bool) -> Self {
        let mut scenario = Self {
            name,
            duration_s: 600.0,
            equal_workspaces: false,
            noisy_workspace: None,
            report_lag: None,
            zone_loss_at_s: None,
            store_outage_s: None,
            caller_retries: 0,
            engine_pause_s: None,
            buys: false,
            engines: 10,
            engines_of_load: 6.8,
        };
        match name {
            Name::MixShift => {}
            Name::NoisyNeighbour => {
                scenario.duration_s = 300.0;
                scenario.equal_workspaces = true;
                scenario.noisy_workspace = Some(0);
                scenario.engines_of_load = 5.0;
            }
            Name::ZoneLoss => {
                scenario.duration_s = 300.0;
                scenario.zone_loss_at_s = Some(150.0);
            }
            Name::StoreOutage => scenario.store_outage_s = Some((100.0, 400.0)),
            Name::LaggingLoad => scenario.report_lag = Some(Duration::from_secs(5)),
            Name::RetryStorm => {
                scenario.duration_s = 300.0;
                scenario.caller_retries = 5;
                scenario.engine_pause_s = Some((100.0, 120.0));
            }
            Name::Spend => {
                scenario.duration_s = 5400.0;
                scenario.buys = true;
                scenario.engines = 6;
                scenario.engines_of_load = 3.0;
            }
        }
        if short {
            scenario.duration_s = 30.0;
        }
        scenario
    }

    /// Prefill share of the offered work.
    pub(crate) fn prefill_share(&self, at_s: f64) -> f64 {
        let (low, high) = (USUAL_PREFILL_SHARE * 0.5, USUAL_PREFILL_SHARE * 1.5);
        match self.name {
            Name::MixShift | Name::StoreOutage | Name::LaggingLoad => match at_s {
                t if t < 60.0 => USUAL_PREFILL_SHARE,
                t if t < 120.0 => {
                    USUAL_PREFILL_SHARE + (high - USUAL_PREFILL_SHARE) * (t - 60.0) / 60.0
                }
                t if t < 240.0 => high,
                t if t < 360.0 => high + (low - high) * (t - 240.0) / 120.0,
                t if t < 450.0 => low,
                t if ((t / 15.0) as u64).is_multiple_of(2) => high,
                _ => low,
            },
            _ => USUAL_PREFILL_SHARE,
        }
    }

    /// Offered work in engines.
    pub(crate) fn load_engines(&self, at_s: f64) -> f64 {
        if self.name != Name::Spend {
            return self.engines_of_load;
        }
        // Two broad peaks, as on a working day.
        let phase = std::f64::consts::TAU * at_s / (self.duration_s / 2.0);
        self.engines_of_load + 2.0 * (1.0 - phase.cos())
    }

    /// Upper bound of a rate over the whole run.
    pub(crate) fn highest_rate(&self, rate: impl Fn(f64) -> f64) -> f64 {
        let points = 200;
        let times = (0..=points).map(|i| self.duration_s * f64::from(i) / f64::from(points));
        times.map(rate).fold(1e-9, f64::max) * 1.05
    }
}

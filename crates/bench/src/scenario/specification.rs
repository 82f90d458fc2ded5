//! Load parameters of the burst scenarios: a steady phase, a burst of all users of a zone, and
//! device calls.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hooklug_settings::GatewayMode;

/// A scenario with a steady phase and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurstScenario {
    /// Growers ask at the same time whether to vent or heat, and alarms arrive in bursts.
    FrostNight,
    /// Long sessions with many sensor readings.
    SowingMorning,
    /// Dispatchers during a storm: the highest load, with engines replaced and nodes killed.
    StormWarning,
}

/// A scenario, its gateway mode and its scale, written as `frost-night`, `frost-night@plain` or
/// `frost-night@plainx3`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Specification {
    /// The scenario.
    pub scenario: BurstScenario,
    /// Full gateways or baseline gateways.
    pub mode: GatewayMode,
    /// Factor applied to the load of both phases.
    pub scale: f64,
}

/// The load of a scenario. Program counts are relative to the number of session slots in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Programs of the steady phase, per slot.
    pub steady: f64,
    /// Additional programs of the burst, per slot, which arrive within one second.
    pub burst: f64,
    /// Rate of device calls as a share of what application engines can serve: throughout the run,
    /// and the additional share from the start of the burst.
    pub device_calls: (f64, f64),
    /// Time for which an application engine runs a call.
    pub run_time: Duration,
    /// Concurrent calls of an application engine. Small enough that the callers of one machine can
    /// exceed it.
    pub application_slots: u32,
    /// Share of calls that are non-repeatable.
    pub non_repeatable_share: f64,
    /// Maximum number of calls between two turns.
    pub max_calls: u32,
    /// Minimum and maximum number of tokens of a turn.
    pub turn_tokens: (u64, u64),
    /// Number of turns of a session.
    pub max_turns: u32,
    /// Maximum pause between turns.
    pub max_think_time: Duration,
    /// Whether engines are replaced during the burst.
    pub replace_engines: bool,
    /// Whether random nodes are killed throughout the run.
    pub kills: bool,
}

impl BurstScenario {
    const ALL: [(Self, &'static str); 3] = [
        (Self::FrostNight, "frost-night"),
        (Self::SowingMorning, "sowing-morning"),
        (Self::StormWarning, "storm-warning"),
    ];

    /// Returns the load of the scenario: a steady phase, then all users of a zone within one
    /// second.
    #[must_use]
    pub fn load(self) -> Load {
        let frost_night = Load {
            steady: 0.5,
            burst: 2.0,
            device_calls: (0.3, 0.5),
            run_time: Duration::from_millis(160),
            application_slots: 16,
            non_repeatable_share: 0.6,
            max_calls: 3,
            turn_tokens: (8, 40),
            max_turns: 8,
            max_think_time: Duration::from_millis(400),
            replace_engines: true,
            kills: false,
        };
        match self {
            Self::FrostNight => frost_night,
            Self::SowingMorning => Load {
                non_repeatable_share: 0.2,
                max_calls: 5,
                turn_tokens: (20, 80),
                max_turns: 30,
                burst: 1.0,
                ..frost_night
            },
            Self::StormWarning => Load { steady: 0.7, burst: 2.5, kills: true, ..frost_night },
        }
    }

    fn name(self) -> &'static str {
        Self::ALL.iter().find(|(scenario, _)| *scenario == self).map_or("", |(_, name)| name)
    }
}

impl fmt::Display for Specification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.scenario.name())?;
        if self.mode == GatewayMode::Plain {
            f.write_str("@plain")?;
        }
        if (self.scale - 1.0).abs() > f64::EPSILON {
            write!(f, "x{}", self.scale)?;
        }
        Ok(())
    }
}

/// A text that does not name a scenario.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "unknown scenario {0:?}; expected frost-night, sowing-morning or storm-warning, optionally followed by @plain and xN"
)]
pub struct SpecificationError(String);

impl FromStr for Specification {
    type Err = SpecificationError;

    fn from_str(text: &str) -> Result<Self, SpecificationError> {
        let error = || SpecificationError(text.to_owned());
        let known = BurstScenario::ALL
            .iter()
            .find_map(|(scenario, name)| Some((*scenario, text.strip_prefix(name)?)));
        let (scenario, rest) = known.ok_or_else(error)?;
        let (mode, rest) = match rest.strip_prefix("@plain") {
            Some(rest) => (GatewayMode::Plain, rest),
            None => (GatewayMode::Full, rest),
        };
        let scale = match rest.strip_prefix('x') {
            Some(number) => number.parse().map_err(|_| error())?,
            None if rest.is_empty() => 1.0,
            None => return Err(error()),
        };
        Ok(Self { scenario, mode, scale })
    }
}

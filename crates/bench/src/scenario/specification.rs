//! What the scenarios are, as numbers: a steady part, a burst of all users of a zone, urgent calls.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hooklug_settings::GatewayMode;

/// A district's hard hour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scene {
    /// Growers ask at once whether to vent or heat; alarms come in bursts.
    FrostNight,
    /// Long sessions with many sensor readings.
    SowingMorning,
    /// Dispatchers during a storm: the highest load, engines replaced, nodes killed.
    StormWarning,
}

/// A scene, its gateway mode and its load, written `frost-night`, `frost-night@plain` or `frost-night@plainx3`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Specification {
    /// The scene.
    pub scene: Scene,
    /// Gateways as designed, or the baseline.
    pub mode: GatewayMode,
    /// Factor on the load of the steady part and the burst.
    pub scale: f64,
}

/// The load of a scene, in programs by slot of the fleet's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Programs of the steady part.
    pub steady: f64,
    /// Programs that arrive in one second.
    pub burst: f64,
    /// Calls of devices a second, as a share of what application engines can run: all along, and on top
    /// of it once all of a zone's users have come.
    pub device_calls: (f64, f64),
    /// Time that an application engine runs a call.
    pub run: Duration,
    /// Calls that an application engine runs at once: few enough for one machine to ask for more.
    pub application_slots: u32,
    /// Share of calls that may not be repeated.
    pub once_share: f64,
    /// Most calls between two turns.
    pub calls: u32,
    /// Tokens of a turn, shortest and longest.
    pub turn_tokens: (u64, u64),
    /// Turns of a session.
    pub turns: u32,
    /// Longest pause between turns.
    pub think: Duration,
    /// Whether engines are replaced during the burst.
    pub replace_engines: bool,
    /// Whether nodes are killed at random all along.
    pub kills: bool,
}

impl Scene {
    const ALL: [(Self, &'static str); 3] = [
        (Self::FrostNight, "frost-night"),
        (Self::SowingMorning, "sowing-morning"),
        (Self::StormWarning, "storm-warning"),
    ];

    /// Its load (ours; the shape is the issue's: steady, then all of a zone's users in one second).
    #[must_use]
    pub fn load(self) -> Load {
        let frost = Load {
            steady: 0.5,
            burst: 2.0,
            device_calls: (0.3, 0.5),
            run: Duration::from_millis(160),
            application_slots: 16,
            once_share: 0.6,
            calls: 3,
            turn_tokens: (8, 40),
            turns: 8,
            think: Duration::from_millis(400),
            replace_engines: true,
            kills: false,
        };
        match self {
            Self::FrostNight => frost,
            Self::SowingMorning => Load {
                once_share: 0.2,
                calls: 5,
                turn_tokens: (20, 80),
                turns: 30,
                burst: 1.0,
                ..frost
            },
            Self::StormWarning => Load { steady: 0.7, burst: 2.5, kills: true, ..frost },
        }
    }

    fn word(self) -> &'static str {
        Self::ALL.iter().find(|(scene, _)| *scene == self).map_or("", |(_, word)| word)
    }
}

impl fmt::Display for Specification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.scene.word())?;
        if self.mode == GatewayMode::Plain {
            f.write_str("@plain")?;
        }
        if (self.scale - 1.0).abs() > f64::EPSILON {
            write!(f, "x{}", self.scale)?;
        }
        Ok(())
    }
}

/// A text that names no scenario.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is no scenario; expected frost-night, sowing-morning or storm-warning, then @plain and xN at will"
)]
pub struct SpecificationError(String);

impl FromStr for Specification {
    type Err = SpecificationError;

    fn from_str(text: &str) -> Result<Self, SpecificationError> {
        let error = || SpecificationError(text.to_owned());
        let known =
            Scene::ALL.iter().find_map(|(scene, word)| Some((*scene, text.strip_prefix(word)?)));
        let (scene, rest) = known.ok_or_else(error)?;
        let (mode, rest) = match rest.strip_prefix("@plain") {
            Some(rest) => (GatewayMode::Plain, rest),
            None => (GatewayMode::Full, rest),
        };
        let scale = match rest.strip_prefix('x') {
            Some(number) => number.parse().map_err(|_| error())?,
            None if rest.is_empty() => 1.0,
            None => return Err(error()),
        };
        Ok(Self { scene, mode, scale })
    }
}

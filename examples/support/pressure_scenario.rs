use {
    std::time::Duration,
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// An overload or fault that a deployment is exposed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PressureKind {
    /// Callers send three times the requests that the bottleneck can serve.
    Surge,
    /// The last service takes ten times as long until the pressure ends.
    SlowService,
    /// All VMs of one data centre stop and are not restarted.
    LostDataCentre,
    /// The table service is down for the whole run.
    TableDown,
}

/// One or two pressures at the same time, with the length of each phase of the run.
#[derive(Clone, Debug)]
pub struct PressureScenario {
    pub name: String,
    pub kinds: Vec<PressureKind>,
    /// Time under normal load before the pressure.
    pub warm_up: Duration,
    pub pressure: Duration,
    /// Time under normal load after the pressure.
    pub cool_down: Duration,
}

impl PressureScenario {
    pub fn new(kinds: &[PressureKind]) -> Self {
        let names: Vec<&str> = kinds.iter().map(Into::into).collect();
        Self {
            name: names.join("+"),
            kinds: kinds.to_vec(),
            warm_up: Duration::from_secs(3),
            pressure: Duration::from_secs(6),
            cool_down: Duration::from_secs(6),
        }
    }

    /// Each pressure by itself, and the surge together with each other pressure.
    pub fn all() -> Vec<Self> {
        use PressureKind::{LostDataCentre, SlowService, Surge, TableDown};
        let kinds: [&[PressureKind]; 7] = [
            &[Surge],
            &[SlowService],
            &[LostDataCentre],
            &[TableDown],
            &[Surge, SlowService],
            &[Surge, LostDataCentre],
            &[Surge, TableDown],
        ];
        kinds.into_iter().map(Self::new).collect()
    }

    pub fn includes(&self, kind: PressureKind) -> bool {
        self.kinds.contains(&kind)
    }

    pub fn duration(&self) -> Duration {
        self.warm_up + self.pressure + self.cool_down
    }
}

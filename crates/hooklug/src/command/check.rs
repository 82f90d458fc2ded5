//! `hooklug check`: every fault of the settings at once.

use hooklug_settings::{Overrides, SettingFault, Settings};
use hooklug_types::NodeRole;

use crate::Outcome;
use crate::cli::{CheckArgs, SettingsArgs};

pub(crate) fn run(args: &CheckArgs) -> Outcome {
    match load(&args.settings, args.role.into()) {
        Ok(_) => {
            println!("settings are valid for a {}", NodeRole::from(args.role));
            Outcome::Done
        }
        Err(faults) => {
            print_faults(&faults);
            Outcome::Faults
        }
    }
}

pub(crate) fn load(args: &SettingsArgs, role: NodeRole) -> Result<Settings, Vec<SettingFault>> {
    let overrides = Overrides {
        rpc: args.rpc,
        http: args.http,
        zone: args.zone.clone(),
        seeds: args.seeds.clone(),
        data_folder: args.data_folder.clone(),
        enable_faults: args.enable_faults.then_some(true),
    };
    Settings::load(args.settings.as_deref(), std::env::vars(), &overrides, role)
}

pub(crate) fn print_faults(faults: &[SettingFault]) {
    for fault in faults {
        eprintln!("{fault}");
    }
    eprintln!("{} faults", faults.len());
}

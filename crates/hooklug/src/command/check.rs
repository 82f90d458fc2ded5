//! Implementation of `hooklug check`, which prints all errors in the settings.

use hooklug_settings::{Overrides, SettingError, Settings};
use hooklug_types::NodeRole;

use crate::CommandOutcome;
use crate::cli::{CheckArgs, SettingsArgs};

pub(crate) fn run(args: &CheckArgs) -> CommandOutcome {
    match load(&args.settings, args.role.into()) {
        Ok(_) => {
            println!("settings are valid for a {}", NodeRole::from(args.role));
            CommandOutcome::Done
        }
        Err(errors) => {
            print_errors(&errors);
            CommandOutcome::Invalid
        }
    }
}

pub(crate) fn load(args: &SettingsArgs, role: NodeRole) -> Result<Settings, Vec<SettingError>> {
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

pub(crate) fn print_errors(errors: &[SettingError]) {
    for error in errors {
        eprintln!("{error}");
    }
    eprintln!("{} errors", errors.len());
}

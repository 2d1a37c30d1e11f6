//! The attribute `#[value]`, which adds the common derives to a type.
//!
//! `#[value]` without options derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and
//! `Deserialize`. The options are:
//!
//! - `copy` adds `Copy`.
//! - `key` adds `PartialOrd`, `Ord` and `Hash`.
//! - `float` omits `Eq`, for types with floating-point fields.
//! - `local` omits the two serde traits, for types that don't leave the process.
//!
//! A crate that uses the attribute must depend on `serde` unless all its uses are `local`.

use proc_macro::TokenStream;

/// Adds the common derives; options are `copy`, `key`, `float` and `local`.
#[proc_macro_attribute]
pub fn value(options: TokenStream, item: TokenStream) -> TokenStream {
    let options = options.to_string();
    let mut traits = vec!["Clone", "Debug", "PartialEq"];
    let mut eq = true;
    let mut serde = true;
    for option in options.split(',').map(str::trim).filter(|o| !o.is_empty()) {
        match option {
            "copy" => traits.push("Copy"),
            "key" => traits.extend(["PartialOrd", "Ord", "Hash"]),
            "float" => eq = false,
            "local" => serde = false,
            other => return unknown_option(other),
        }
    }
    if eq {
        traits.push("Eq");
    }
    if serde {
        traits.extend(["::serde::Serialize", "::serde::Deserialize"]);
    }
    let derive = format!("#[derive({})]", traits.join(", "));
    let mut output: TokenStream = derive.parse().expect("the derive attribute is well-formed");
    output.extend(item);
    output
}

fn unknown_option(option: &str) -> TokenStream {
    format!("compile_error!(\"unknown option {option:?}: use copy, key, float or local\");")
        .parse()
        .expect("the error is well-formed")
}

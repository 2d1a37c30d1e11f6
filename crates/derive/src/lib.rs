//! The attribute `#[value]`, which adds the common derives to a type.
//!
//! Plain `#[value]` derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
//! Options add or leave out traits: `copy` adds `Copy`; `key` adds `PartialOrd`, `Ord` and
//! `Hash`; `float` leaves out `Eq`; `local` leaves out the two serde traits. The crate that uses
//! the attribute depends on `serde` unless all its values are `local`.

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

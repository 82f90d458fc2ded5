//! Signing of bundles and verification of operators' signatures.

mod common;

use std::collections::BTreeMap;

use common::valid;
use hooklug_bundle::{SignatureError, check_public_key, digest, generate_key_pair, sign, verify};
use hooklug_types::{BundleVersion, OperatorName};

fn name(text: &str) -> OperatorName {
    OperatorName::new(text).expect("valid")
}

#[test]
fn enough_good_signatures_pass_and_name_who_signed() {
    let (anna, bela) = (generate_key_pair(), generate_key_pair());
    let keys =
        BTreeMap::from([(name("anna"), anna.public.clone()), (name("bela"), bela.public.clone())]);
    let digest = digest(&valid());
    let by_anna = sign(&digest, &anna.secret).expect("a good key");
    let by_bela = sign(&digest, &bela.secret).expect("a good key");
    let both = BTreeMap::from([(name("anna"), by_anna.clone()), (name("bela"), by_bela)]);
    assert_eq!(verify(&digest, &both, &keys, 2), Ok(vec![name("anna"), name("bela")]));
    let one = BTreeMap::from([(name("anna"), by_anna)]);
    assert_eq!(verify(&digest, &one, &keys, 1), Ok(vec![name("anna")]));
    assert_eq!(
        verify(&digest, &one, &keys, 2),
        Err(SignatureError::TooFew { found: 1, required: 2 })
    );
    assert_eq!(verify(&digest, &BTreeMap::new(), &keys, 0), Ok(Vec::new()));
}

#[test]
fn a_signature_on_another_bundle_or_by_another_key_is_refused() {
    let (anna, bela) = (generate_key_pair(), generate_key_pair());
    let keys = BTreeMap::from([(name("anna"), anna.public.clone())]);
    let signed = digest(&valid());
    let mut other = valid();
    other.version = BundleVersion(9);
    let good = BTreeMap::from([(name("anna"), sign(&signed, &anna.secret).expect("good"))]);
    let invalid = Err(SignatureError::Invalid(name("anna")));
    assert_eq!(verify(&digest(&other), &good, &keys, 1), invalid);
    let foreign = BTreeMap::from([(name("anna"), sign(&signed, &bela.secret).expect("good"))]);
    assert_eq!(verify(&signed, &foreign, &keys, 1), invalid);
    for broken in ["", "00", "not hexadecimal"] {
        let broken = BTreeMap::from([(name("anna"), broken.to_owned())]);
        assert_eq!(verify(&signed, &broken, &keys, 0), invalid);
    }
}

#[test]
fn an_unknown_operator_is_refused_and_one_key_counts_once() {
    let anna = generate_key_pair();
    let digest = digest(&valid());
    let signature = sign(&digest, &anna.secret).expect("good");
    let signatures = BTreeMap::from([(name("anna"), signature.clone()), (name("twin"), signature)]);
    let keys = BTreeMap::from([(name("anna"), anna.public.clone())]);
    assert_eq!(
        verify(&digest, &signatures, &keys, 1),
        Err(SignatureError::UnknownOperator(name("twin")))
    );
    let keys = BTreeMap::from([(name("anna"), anna.public.clone()), (name("twin"), anna.public)]);
    assert_eq!(
        verify(&digest, &signatures, &keys, 2),
        Err(SignatureError::TooFew { found: 1, required: 2 })
    );
}

#[test]
fn keys_are_checked_and_secrets_not_shown() {
    let keys = generate_key_pair();
    assert_eq!(check_public_key(&keys.public), Ok(()));
    assert_eq!(check_public_key("00"), Err(SignatureError::BadKey));
    assert_eq!(sign(&digest(&valid()), "short"), Err(SignatureError::BadKey));
    assert!(!format!("{keys:?}").contains(&keys.secret));
    assert_ne!(generate_key_pair().public, keys.public);
}

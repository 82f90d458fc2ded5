//! Tests that the fit returns the coefficients that generated the observations, and their standard
//! errors.

use super::{Observation, fit};

fn observation(drivers: &[f64], cost: f64) -> Observation {
    Observation { drivers: drivers.to_vec(), cost }
}

#[test]
fn exact_observations_give_the_slopes_that_made_them() {
    let make = |a: f64, b: f64| observation(&[a, b], 3.0 + 2.0 * a - 0.5 * b);
    let observations = [make(1.0, 5e6), make(2.0, 1e6), make(7.0, 3e6), make(4.0, 9e6)];
    let fit = fit(&observations).expect("the observations determine the fit");
    assert!((fit.constant.value - 3.0).abs() < 1e-3, "{fit:?}");
    assert!((fit.slopes[0].value - 2.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.slopes[1].value + 0.5).abs() < 1e-6, "{fit:?}");
    assert!(fit.r_squared > 0.999_999, "{fit:?}");
}

#[test]
fn the_standard_error_is_that_of_the_textbook() {
    // x = 1..5, y = 2, 4, 5, 4, 5: slope 0.6, its standard error sqrt(0.8 / 10).
    let points = [(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)];
    let observations: Vec<_> = points.iter().map(|(x, y)| observation(&[*x], *y)).collect();
    let fit = fit(&observations).expect("the observations determine the fit");
    let slope = fit.slopes[0];
    assert!((slope.value - 0.6).abs() < 1e-9, "{fit:?}");
    let error = slope.standard_error.expect("three degrees of freedom");
    assert!((error - 0.08_f64.sqrt()).abs() < 1e-9, "{fit:?}");
}

#[test]
fn too_few_or_dependent_observations_yield_no_fit() {
    assert_eq!(fit(&[]), None);
    assert_eq!(fit(&[observation(&[1.0], 1.0)]), None);
    let dependent: Vec<_> =
        (0..5).map(|i| observation(&[f64::from(i), 2.0 * f64::from(i)], 1.0)).collect();
    assert_eq!(fit(&dependent), None);
}

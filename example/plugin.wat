;; A plug-in that refuses every third redial of the first class for a second and counts what ended badly.
(module
  (memory (export "memory") 1)
  (global $redials (mut i32) (i32.const 0))
  (global $bad (mut i32) (i32.const 0))

  ;; offered(class, cell, left_ms, redial) -> -1 to pass, or the milliseconds to stay away
  (func (export "offered") (param $class i32) (param $cell i32) (param $left_ms i32) (param $redial i32)
    (result i32)
    (if (i32.or (local.get $class) (i32.eqz (local.get $redial)))
      (then (return (i32.const -1))))
    (global.set $redials (i32.add (global.get $redials) (i32.const 1)))
    (if (result i32) (i32.rem_u (global.get $redials) (i32.const 3))
      (then (i32.const -1))
      (else (i32.const 1000))))

  ;; ended(class, outcome, attempts, took_ms); outcome 0 is a call that came to its end
  (func (export "ended") (param $class i32) (param $outcome i32) (param $attempts i32) (param $took_ms i32)
    (if (local.get $outcome)
      (then (global.set $bad (i32.add (global.get $bad) (i32.const 1)))))))

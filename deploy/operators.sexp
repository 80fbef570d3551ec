;; The operators' settings of otterknot, in addition to the platform's settings file.
;; One section for each subsystem; settings that are not named have their defaults. Check a change before it is used:
;;
;;     java -jar target/otterknot.jar check --operators deploy/operators.sexp
;;
;; Controllers that were started with --operators FILE apply changes within about five seconds, without a restart.

;; Keeps busy teams from crowding others out; see docs/operators/load-spread.md.
;; off, observe (plans are only logged) or act.
(load-spread
  :mode off)

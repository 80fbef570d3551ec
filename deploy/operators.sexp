;; The operators' own settings of otterknot, beyond the file that the platform hands over.
;; One section for each subsystem; what is not named has its default. Check a change before it is used:
;;
;;     java -jar target/otterknot.jar check --operators deploy/operators.sexp
;;
;; Controllers that were started with --operators FILE take changes within five seconds, without a restart.

;; Keeps busy teams from crowding others out; see docs/operators/load-spread.md.
;; off, observe (plans are only told in the log) or act.
(load-spread
  :mode off)

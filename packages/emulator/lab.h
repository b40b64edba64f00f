/* lab.h -- brasswing lab: experiments with real processes on loopback

     brasswing lab run [options] FILE...    plays experiments, see experiment.h
       --json           the reports as JSON on standard output
       --html FILE      and as a page with plots
       --daemon PATH    brasswingd; beside brasswing when not given
       --keep           keeps the processes' files and says where
     brasswing lab compare A B              sets two JSON reports side by side
     brasswing lab list                     what an outcome may expect
     brasswing lab store|worker|ingress ... one emulated system, for tests

   A run ends with `lab: N experiments, O outcomes, V violated`.
*/

#ifndef BW_LAB_H
#define BW_LAB_H

/* Runs with the operands after `lab`.  Returns an exit code: 0 when every
   outcome held, 1 when one did not, 2 for wrong usage, 3 for faults in an
   experiment, 4 when a fleet did not come up. */
int
BwLab_Main(int argc, char **argv);

#endif

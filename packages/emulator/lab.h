/* lab.h -- brasswing lab: experiments with real processes on loopback

     brasswing lab run [options] FILE...    runs experiments, see experiment.h
       --json           prints the reports as JSON on standard output
       --html FILE      also writes them as a page with plots
       --daemon PATH    brasswingd; default: found beside brasswing
       --keep           keeps the processes' files and prints their directory
     brasswing lab compare A B              prints two JSON reports compared
     brasswing lab list                     lists the counters for outcomes
     brasswing lab store|worker|ingress ... runs one emulated process

   A run ends with `lab: N experiments, O outcomes, V violated`.
*/

#ifndef BW_LAB_H
#define BW_LAB_H

/* Runs the command; argv starts with the operand after `lab`.  Returns an exit
   code: 0 when every outcome was met, 1 when one was violated, 2 for wrong
   usage, 3 for faults in an experiment file, 4 when a fleet did not start or
   an experiment could not be completed.  With several files it is the highest
   of their codes. */
int
BwLab_Main(int argc, char **argv);

#endif

#!/usr/bin/env node
import {ignoreSignals} from '@valelead/common/ignore-signals';

// Before the other modules load, which takes 0.75 s or more if they are not bundled.
ignoreSignals();

const {runCommandLine} = await import('./run-command-line.js');
await runCommandLine();

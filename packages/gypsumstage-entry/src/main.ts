#!/usr/bin/env node
import { runRole } from "@gypsumstage/shared/runRole";
import { startEntry } from "./startEntry.js";

runRole("gypsumstage-entry", startEntry);
